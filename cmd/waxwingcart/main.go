// Command waxwingcart is the one binary of the system.
package main

func main() {}
