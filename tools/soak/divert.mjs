// Loaded before a bundle. What the process tells others as its address is the proxy's: it listens
// beside it, at the same port of another loopback address, and dials from an address of its own, by which the
// proxy knows who dials.
import net from 'node:net';
import process from 'node:process';

const { SOAK_TOLD: told, SOAK_REAL: real, SOAK_SELF: self } = process.env;
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
