"""The rig: a stand-in fleet, faults, open-loop load, a judge and experiments, all on loopback addresses."""
