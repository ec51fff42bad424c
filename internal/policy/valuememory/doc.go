// Package valuememory decides how much memory the values of reads may use. The length of a value is not known before its
// cache server begins to send it, and the value may have to be held for long: answers are given in the order of the
// commands, so it waits for those before it on its client's connection.
//
// Inputs are reads that are submitted and end, the lengths of values as they are announced, and the bytes that are held
// for clients. A Budget answers two questions: whether a connection that waits for an answer may submit one more command
// (MayPipeline), and whether a value may be received now (Reserve). A read is counted with the mean length of recent values
// from its submission on, since by then its value can no longer be refused without a loss of work.
//
// The package does no I/O and has no clock. A Budget belongs to the event loop: the front end and the codecs of cache
// servers' connections call it.
package valuememory
