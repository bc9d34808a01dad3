figures {}

capture {}
