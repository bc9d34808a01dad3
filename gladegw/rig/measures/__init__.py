"""Figures: of one proxy, of fleets as they grow, of losses and changes again and again; and their pages."""
