package hemlocknode

//go:generate wire .
