import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type Announcement from '../../src/sidecar/Announcement';
import type BackendAnswer from '../../src/sidecar/BackendAnswer';
import type BackendCall from '../../src/sidecar/BackendCall';
import type BackendClient from '../../src/sidecar/BackendClient';
import type BackendError from '../../src/sidecar/BackendError';
import type SimulationEvent from './SimulationEvent';
import type ManualTimer from './ManualTimer';
import type SimulatedProcess from './SimulatedProcess';

/** What a task asks of the simulated backend server. */
interface Input {
  readonly id: string;
  readonly index: number;
  readonly ms: number;
}

/** One backend server of a simulated system. It outlives its sidecar's process and notes what it starts. */
export default class SimulatedBackend {
  running = 0;

  private life = new AbortController();

  private constructor(
    private readonly name: string,
    private readonly timer: ManualTimer,
    private readonly happenings: SimulationEvent[],
  ) {}

  /** Starts a backend server that notes its starts among the happenings. */
  static start(name: string, timer: ManualTimer, happenings: SimulationEvent[]): SimulatedBackend {
    return new SimulatedBackend(name, timer, happenings);
  }

  get isAlive(): boolean {
    return !this.life.signal.aborted;
  }

  /** Ends its process; the tasks that ran are gone. */
  kill(): void {
    this.life.abort();
  }

  /** Starts a new process in place of a dead one. */
  restart(): void {
    if (!this.isAlive) this.life = new AbortController();
  }

  /** How the process of its sidecar reaches it. */
  clientOf(process: SimulatedProcess): BackendClient {
    const run = (_backend: Announcement, call: BackendCall, signal: AbortSignal) =>
      new ResultAsync(process.deliver(this.work(call, signal)));
    return { run, forget: () => undefined };
  }

  private async work(
    call: BackendCall,
    signal: AbortSignal,
  ): Promise<Result<BackendAnswer, BackendError>> {
    const { timer, life } = this;
    if (life.signal.aborted) return err({ kind: 'unsent', reason: 'connection refused' });
    const { id, index, ms } = JSON.parse(Buffer.from(call.input).toString()) as Input;
    const { task } = call;
    this.happenings.push({ kind: 'started', at: timer.now(), id, index, task, on: this.name });
    this.running += 1;
    await timer.sleep(ms, AbortSignal.any([signal, life.signal]));
    this.running -= 1;
    if (life.signal.aborted) return err({ kind: 'lost', reason: 'connection reset' });
    if (signal.aborted) return err({ kind: 'lost', reason: 'ended' });
    return ok({ ok: true, output: Buffer.from(`${id}/${index}`), reason: '' });
  }
}
