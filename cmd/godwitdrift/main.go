// Command godwitdrift is the load balancer: the balancer and agent processes,
// and the operator's commands.
package main

func main() {}
