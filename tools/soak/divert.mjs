// Loaded before a bundle. What the process tells others as its address is the proxy's: it listens
// beside it, at the same port of another loopback address, and dials from an address of its own, by which the
// proxy knows who dials.
import http2 from 'node:http2';
import net from 'node:net';
import process from 'node:process';

const { SOAK_TOLD: told, SOAK_REAL: real, SOAK_SELF: self } = process.env;
/** As wide as the window of a whole session. */
const WINDOW_BYTES = 16 * 1024 * 1024;

const { listen } = net.Server.prototype;
const { connect } = net.Socket.prototype;

net.Server.prototype.listen = function divertedListen(place, ...rest) {
  const host = place?.host;
  if (!host?.startsWith(told)) return listen.call(this, place, ...rest);
  return listen.call(this, { ...place, host: host.replace(told, real) }, ...rest);
};

net.Socket.prototype.connect = function divertedConnect(...args) {
  const options = Array.isArray(args[0]) ? args[0][0] : args[0];
  if (options?.host?.startsWith(told)) options.localAddress = self;
  return connect.apply(this, args);
};

// The kernel's buffers on the loopback hold more than the window of a stream, so nothing would ever stay queued in
// a process whose peer is silent, as it does on a network. A window as wide as a session's has it stay.
const { createServer } = http2;
http2.createServer = function widened(options, ...rest) {
  const settings = { ...options?.settings, initialWindowSize: WINDOW_BYTES };
  return createServer.call(this, { ...options, settings }, ...rest);
};
