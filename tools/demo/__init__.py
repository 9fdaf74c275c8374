"""Demo: a fleet that serves online requests and a batch job."""
