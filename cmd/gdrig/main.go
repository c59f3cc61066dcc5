// Command gdrig runs godwitdrift on one machine against stand-ins of the
// platform, the fabric, the upstreams and the callers.
package main

func main() {}
