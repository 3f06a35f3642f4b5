"""The gevent host: sockets, disk, timers, logs and metrics of one process."""
