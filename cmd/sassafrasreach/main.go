// Command sassafrasreach steers requests from callers to endpoints.
package main

func main() {}
