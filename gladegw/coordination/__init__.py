"""Who holds what among several processes: pure, without I/O, clock or chance."""
