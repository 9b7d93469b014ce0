// Package peerpb contains the messages and the service with which entry VMs
// communicate, generated from peer.proto by "make generate".
//
// # Usage
//
//	client := peerpb.NewDRPCPeerClient(conn)
//	reply, err := client.Exchange(ctx, &peerpb.ExchangeRequest{Vm: "e1"})
package peerpb
