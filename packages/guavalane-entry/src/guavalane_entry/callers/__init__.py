"""HTTP server for callers, admission control and stream handling."""
