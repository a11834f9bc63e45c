/**
 * The TCP protocol between core and edge nodes: length-prefixed frames with hand-written codecs, and connections that
 * detect an unresponsive peer. See docs/design/system.md for the wire format.
 */
package tinworks.channel;
