import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';

/** A TCP proxy that counts the bytes forwarded in each direction. */
export default class ByteMeter {
  /** Total bytes sent by the dialling side. */
  sent = 0;

  /** Total bytes received by the dialling side. */
  received = 0;

  private readonly server: Server;

  private constructor(private readonly target: string) {
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  /** Starts a meter that forwards to the address. */
  static async to(target: string): Promise<ByteMeter> {
    const meter = new ByteMeter(target);
    await new Promise<void>((resolve) => {
      meter.server.listen(0, '127.0.0.1', resolve);
    });
    return meter;
  }

  /** The address on which the meter listens, "ip:port". */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  private accept(near: Socket): void {
    const { hostname, port } = new URL(`http://${this.target}`);
    const far = connect({ host: hostname, port: Number(port), noDelay: true });
    near.on('data', (chunk) => {
      this.sent += chunk.length;
    });
    far.on('data', (chunk) => {
      this.received += chunk.length;
    });
    near.pipe(far).pipe(near);
    near.on('error', () => far.destroy());
    far.on('error', () => near.destroy());
    near.once('close', () => far.destroy());
    far.once('close', () => near.destroy());
  }
}
