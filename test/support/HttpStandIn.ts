import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** What was called, with its JSON body. */
interface Call {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: unknown;
}

/** How a call is answered: status and body, or not at all. */
type Reply =
  | {
      readonly status: number;
      readonly body?: unknown;
      /** The body comes in so many parts, ms apart from each other. */
      readonly parts?: { readonly count: number; readonly gapMs: number };
    }
  | 'silence'
  | 'reset';

/** An HTTP server whose answers a test gives. */
export default class HttpStandIn {
  readonly calls: Call[] = [];

  private readonly server: Server;

  private constructor(private readonly reply: (call: Call) => Reply) {
    this.server = createServer((req, res) => this.serve(req, res));
  }

  /** Opens a server at a free port. */
  static async open(reply: (call: Call) => Reply): Promise<HttpStandIn> {
    const standIn = new HttpStandIn(reply);
    await new Promise<void>((resolve) => {
      standIn.server.listen(0, '127.0.0.1', resolve);
    });
    return standIn;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Ends it; its port refuses connections then. */
  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private serve(req: IncomingMessage, res: ServerResponse): void {
    let text = '';
    req.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    req.on('end', () => {
      const { method = '', url = '', headers } = req;
      const call = { method, path: url, headers, body: text === '' ? undefined : JSON.parse(text) };
      this.calls.push(call);
      const reply = this.reply(call);
      if (reply === 'reset') req.socket.destroy();
      else if (reply !== 'silence') {
        res.writeHead(reply.status, { 'content-type': 'application/json' });
        const whole = reply.body === undefined ? '' : JSON.stringify(reply.body);
        if (reply.parts) sendParts(res, whole, reply.parts.count, reply.parts.gapMs);
        else res.end(whole);
      }
    });
  }
}

/** Sends a text part by part; the last one only if there is still somebody to send it to. */
function sendParts(res: ServerResponse, text: string, count: number, gapMs: number): void {
  const size = Math.ceil(text.length / count);
  const send = (from: number): void => {
    if (res.destroyed) return;
    res.write(text.slice(from, from + size));
    if (from + size >= text.length) res.end();
    else setTimeout(send, gapMs, from + size);
  };
  send(0);
}
