import { ResultAsync } from 'neverthrow';
import { request } from 'undici';
import type TimerService from '../../src/core/TimerService';
import type Announcement from '../../src/sidecar/Announcement';

const RETRY_MS = 500;

/** Announces a backend server to its sidecar and renews the announcement until it is withdrawn. */
export default class Announcer {
  private readonly stopped = new AbortController();

  private renewals = Promise.resolve();

  private constructor(
    private readonly timer: TimerService,
    private readonly sidecar: string,
    private readonly backend: Announcement,
  ) {}

  /** Creates an announcer to the sidecar at the address "ip:port". */
  static create(timer: TimerService, sidecar: string, backend: Announcement): Announcer {
    return new Announcer(timer, sidecar, backend);
  }

  /** Announces and renews until `leave`; retries while the sidecar cannot be reached. */
  start(): void {
    this.renewals = this.renew();
  }

  /** Withdraws the announcement, so that the sidecar sends no further tasks. */
  async leave(): Promise<void> {
    this.stopped.abort();
    await this.renewals;
    await ResultAsync.fromPromise(this.send('DELETE'), String);
  }

  private async renew(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const renewMs = await this.put();
      await this.timer.sleep(renewMs.unwrapOr(RETRY_MS), signal);
    }
  }

  private put(): ResultAsync<number, string> {
    return ResultAsync.fromPromise(this.send('PUT', JSON.stringify(this.backend)), String);
  }

  private async send(method: 'PUT' | 'DELETE', body?: string): Promise<number> {
    const res = await request(`http://${this.sidecar}/v1/backend`, { method, body });
    const text = await res.body.text();
    if (res.statusCode !== 200) throw new Error(`sidecar answered ${res.statusCode}: ${text}`);
    return (JSON.parse(text) as { renewMs?: number }).renewMs ?? RETRY_MS;
  }
}
