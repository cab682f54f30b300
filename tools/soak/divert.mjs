// Loaded before a bundle. The peer address that a process advertises is the proxy's: the process itself listens at the
// same port of another loopback address, and dials from its own address, by which the proxy identifies the dialler.
import http2 from 'node:http2';
import net from 'node:net';
import process from 'node:process';

const { SOAK_TOLD: advertised, SOAK_REAL: real, SOAK_SELF: self } = process.env;
/** The same size as the flow-control window of a whole session. */
const WINDOW_BYTES = 16 * 1024 * 1024;

const { listen } = net.Server.prototype;
const { connect } = net.Socket.prototype;

net.Server.prototype.listen = function divertedListen(place, ...rest) {
  const host = place?.host;
  if (!host?.startsWith(advertised)) return listen.call(this, place, ...rest);
  return listen.call(this, { ...place, host: host.replace(advertised, real) }, ...rest);
};

net.Socket.prototype.connect = function divertedConnect(...args) {
  const options = Array.isArray(args[0]) ? args[0][0] : args[0];
  if (options?.host?.startsWith(advertised)) options.localAddress = self;
  return connect.apply(this, args);
};

// The kernel's buffers on the loopback hold more than the window of a stream, so with the default window no data would
// stay queued in a process whose peer is silent, as it does on a network. With a session-sized window it does.
const { createServer } = http2;
http2.createServer = function createServerWithLargeWindow(options, ...rest) {
  const settings = { ...options?.settings, initialWindowSize: WINDOW_BYTES };
  return createServer.call(this, { ...options, settings }, ...rest);
};
