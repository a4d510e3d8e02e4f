// Keeps the library non-empty until its first decision lands.
