import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type Announcement from '../../src/sidecar/Announcement';
import type BackendAnswer from '../../src/sidecar/BackendAnswer';
import type BackendCall from '../../src/sidecar/BackendCall';
import type BackendClient from '../../src/sidecar/BackendClient';
import type BackendError from '../../src/sidecar/BackendError';
import type SimulationEvent from './SimulationEvent';
import type ManualTimer from './ManualTimer';
import type SimulatedProcess from './SimulatedProcess';

/** The input of a task for the simulated backend server. */
interface Input {
  readonly id: string;
  readonly index: number;
  readonly ms: number;
}

/**
 * A backend server of a simulated system. It outlives its sidecar's process and records what it
 * starts.
 */
export default class SimulatedBackend {
  running = 0;

  private incarnation = new AbortController();

  private constructor(
    private readonly name: string,
    private readonly timer: ManualTimer,
    private readonly events: SimulationEvent[],
  ) {}

  /** Starts a backend server that records its starts among the events. */
  static start(name: string, timer: ManualTimer, events: SimulationEvent[]): SimulatedBackend {
    return new SimulatedBackend(name, timer, events);
  }

  get isAlive(): boolean {
    return !this.incarnation.signal.aborted;
  }

  /** Kills its process; its running tasks are lost. */
  kill(): void {
    this.incarnation.abort();
  }

  /** Starts a new process in place of a dead one. */
  restart(): void {
    if (!this.isAlive) this.incarnation = new AbortController();
  }

  /** The client by which the process of its sidecar calls it. */
  clientOf(process: SimulatedProcess): BackendClient {
    const run = (_backend: Announcement, call: BackendCall, signal: AbortSignal) =>
      new ResultAsync(process.deliver(this.runTask(call, signal)));
    return { run, closeIdle: () => undefined };
  }

  private async runTask(
    call: BackendCall,
    signal: AbortSignal,
  ): Promise<Result<BackendAnswer, BackendError>> {
    const { timer, incarnation } = this;
    if (incarnation.signal.aborted) return err({ kind: 'unsent', reason: 'connection refused' });
    const { id, index, ms } = JSON.parse(Buffer.from(call.input).toString()) as Input;
    const { task } = call;
    this.events.push({ kind: 'started', at: timer.now(), id, index, task, on: this.name });
    this.running += 1;
    await timer.sleep(ms, AbortSignal.any([signal, incarnation.signal]));
    this.running -= 1;
    if (incarnation.signal.aborted) return err({ kind: 'lost', reason: 'connection reset' });
    if (signal.aborted) return err({ kind: 'lost', reason: 'ended' });
    return ok({ ok: true, output: Buffer.from(`${id}/${index}`), reason: '' });
  }
}
