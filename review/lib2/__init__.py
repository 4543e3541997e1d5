"""Stand-ins for the second review: store, workers, clients and routers."""
