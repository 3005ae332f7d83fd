"""Model checking and scripted scenarios of godwitglade's protocols."""
