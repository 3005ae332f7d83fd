"""HTTP stand-ins for the platform's services and for targets."""
