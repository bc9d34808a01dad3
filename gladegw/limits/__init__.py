"""What is bounded and who gives way: pure, without I/O, clock or chance."""
