import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';

/** Stands between two processes on TCP and counts the bytes that pass in each direction. */
export default class ByteMeter {
  /** Bytes from the dialling side so far. */
  sent = 0;

  /** Bytes to the dialling side so far. */
  received = 0;

  private readonly server: Server;

  private constructor(private readonly target: string) {
    this.server = createServer({ noDelay: true }, (socket) => this.join(socket));
  }

  /** Starts a meter before the address. */
  static async to(target: string): Promise<ByteMeter> {
    const meter = new ByteMeter(target);
    await new Promise<void>((resolve) => {
      meter.server.listen(0, '127.0.0.1', resolve);
    });
    return meter;
  }

  /** Where the meter listens. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  private join(near: Socket): void {
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
