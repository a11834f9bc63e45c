/**
 * What the system's own processes say to each other over TCP: frames, written into {@link java.nio.ByteBuffer}s by
 * hand, on connections that notice a silent far side. See docs/design/system.md for the bytes.
 */
package tinworks.channel;
