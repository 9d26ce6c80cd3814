"""Entry node daemon of guavalane."""
