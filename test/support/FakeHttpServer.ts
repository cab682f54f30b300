import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A received call with its JSON body. */
interface Call {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: unknown;
}

/** Response to a call: status and body, no response, or a connection reset. */
type Reply =
  | {
      readonly status: number;
      readonly body?: unknown;
      /** Sends the body in this many parts, with gaps in ms. */
      readonly parts?: { readonly count: number; readonly gapMs: number };
    }
  | 'silence'
  | 'reset';

/** An HTTP server whose responses the test determines. */
export default class FakeHttpServer {
  readonly calls: Call[] = [];

  private readonly server: Server;

  private constructor(private readonly reply: (call: Call) => Reply) {
    this.server = createServer((req, res) => this.serve(req, res));
  }

  /** Opens a server on a free port. */
  static async open(reply: (call: Call) => Reply): Promise<FakeHttpServer> {
    const fake = new FakeHttpServer(reply);
    await new Promise<void>((resolve) => {
      fake.server.listen(0, '127.0.0.1', resolve);
    });
    return fake;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Closes the server; its port then refuses connections. */
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
        const responseText = reply.body === undefined ? '' : JSON.stringify(reply.body);
        if (reply.parts) sendParts(res, responseText, reply.parts.count, reply.parts.gapMs);
        else res.end(responseText);
      }
    });
  }
}

/** Sends a text in parts until it is complete or the connection is closed. */
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
