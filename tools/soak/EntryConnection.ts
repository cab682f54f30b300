import type { Socket } from 'node:net';
import { buildConnector, Client, type Dispatcher } from 'undici';
import type TimerService from '../../src/core/TimerService';
import type Job from './Job';
import type SendResult from './SendResult';

/** A caller's connection to an entry, kept open until it breaks or is closed. */
export default class EntryConnection {
  private readonly client: Client;

  private socket: Socket | undefined;

  private resets = 0;

  private constructor(
    private readonly timer: TimerService,
    /** Name of the entry. */
    readonly entry: string,
    address: string,
  ) {
    const connect = buildConnector({});
    this.client = new Client(`http://${address}`, {
      connect: (options, done) =>
        connect(options, (...result) => {
          this.socket = result[1] ?? undefined;
          done(...result);
        }),
    });
  }

  /** Creates a connection that is opened by its first request. */
  static to(timer: TimerService, entry: string, address: string): EntryConnection {
    return new EntryConnection(timer, entry, address);
  }

  /** Submits a job and waits for its answer; if `cancel` aborts first, the connection is closed. */
  async send({ id, body, deadlineMs }: Job, cancel?: AbortSignal): Promise<SendResult> {
    const headers = { 'content-type': 'application/json', 'x-deadline-ms': String(deadlineMs) };
    const call = { path: `/jobs/${id}`, method: 'POST', headers, body } as const;
    return this.request(call, deadlineMs, cancel);
  }

  /** Asks the entry to cancel a job. */
  async cancel({ id, deadlineMs }: Job): Promise<SendResult> {
    return this.request({ path: `/jobs/${id}`, method: 'DELETE', headers: {} }, deadlineMs);
  }

  private async request(
    call: Pick<Dispatcher.RequestOptions, 'path' | 'method' | 'body'> & {
      readonly headers: Readonly<Record<string, string>>;
    },
    limitMs: number,
    cancel?: AbortSignal,
  ): Promise<SendResult> {
    const { resets } = this;
    const timeout = new AbortController();
    const limit = this.timer.after(limitMs + TOLERANCE_MS, () => timeout.abort('silence'));
    const headers = { host: 'soak.example', ...call.headers };
    const signal = cancel ? AbortSignal.any([timeout.signal, cancel]) : timeout.signal;
    try {
      const res = await this.client.request({ ...call, headers, signal });
      return {
        status: res.statusCode,
        text: await res.body.text(),
        isUnsent: false,
        isReset: false,
      };
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      return {
        status: 0,
        text: String(error),
        isUnsent: code === 'ECONNREFUSED',
        isReset: this.resets > resets,
      };
    } finally {
      limit.cancel();
    }
  }

  /** Resets the connection, as after a network failure; the next request opens another to the same entry. */
  reset(): void {
    if (!this.socket || this.socket.destroyed) return;
    this.resets += 1;
    this.socket.resetAndDestroy();
  }

  /** Closes the connection at once. */
  async close(): Promise<void> {
    await this.client.destroy();
  }
}

/** Tolerance after a job's deadline within which an answer may arrive on a busy machine, ms. */
const TOLERANCE_MS = 3_000;
