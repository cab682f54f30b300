import type Random from '../../src/core/Random';
import type TimerService from '../../src/core/TimerService';
import type Checker from './Checker';
import EntryConnection from './EntryConnection';
import type Job from './Job';
import type SendResult from './SendResult';

interface JobSenderOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly checker: Checker;
  /** Addresses at which entries accept callers, by entry name. */
  readonly entries: ReadonlyMap<string, string>;
  /** The connections of all callers. */
  readonly connections: Set<EntryConnection>;
  /** Writes a line to the run's log. */
  readonly logLine: (text: string) => void;
}

/** Sends the jobs of one caller over its current connection, and reports each request to the checker. */
export default class JobSender {
  private current: EntryConnection;

  private constructor(private readonly opts: JobSenderOptions) {
    this.current = this.connect([...opts.entries.keys()]);
  }

  /** Creates a sender connected to a random entry. */
  static create(opts: JobSenderOptions): JobSender {
    return new JobSender(opts);
  }

  /** Sends a job over the current connection or the one given; when `cancel` aborts, the caller closes it. */
  async send(job: Job, connection = this.current, cancel?: AbortSignal): Promise<SendResult> {
    const { timer, checker, logLine } = this.opts;
    const { id, tasks } = job;
    const { entry } = connection;
    const sentAt = timer.now();
    checker.jobSent(id, tasks);
    logLine(`caller sends ${id} to ${entry}`);
    const result = await connection.send(job, cancel);
    const { status, text, isUnsent, isReset } = result;
    const isClosed = status === 0 && (isReset || cancel?.aborted === true);
    logLine(`caller has ${isClosed ? 'closed' : status} for ${id} from ${entry} ${text}`);
    if (isClosed) checker.connectionClosed(id);
    else if (!isUnsent) checker.jobAnswered({ id, entry, sentAt, status, text });
    return result;
  }

  /** Asks an entry, over a connection to it, to cancel a job. */
  async cancel(job: Job, connection: EntryConnection): Promise<void> {
    const { checker, logLine } = this.opts;
    checker.cancelRequested(job);
    const { status } = await connection.cancel(job);
    logLine(`caller has ${status} for cancelling ${job.id} at ${connection.entry}`);
    if (status === 200 || status === 410) checker.jobCancelled(job);
  }

  /** Replaces the current connection by one to a random entry, and closes it. */
  async reconnect(): Promise<void> {
    await this.close(this.switchTo(this.connect([...this.opts.entries.keys()])));
  }

  /** Makes a connection the current one and returns the former one, still open. */
  switchTo(connection: EntryConnection): EntryConnection {
    const { current } = this;
    this.current = connection;
    return current;
  }

  /** Closes a connection. */
  async close(connection: EntryConnection): Promise<void> {
    this.opts.connections.delete(connection);
    await connection.close();
  }

  /** Creates a connection to another entry than the current one, if the caller knows any other. */
  connectElsewhere(): EntryConnection {
    const names = [...this.opts.entries.keys()];
    const others = names.filter((name) => name !== this.current.entry);
    return this.connect(others.length > 0 ? others : names);
  }

  /** The current connection. */
  get connection(): EntryConnection {
    return this.current;
  }

  private connect(names: readonly string[]): EntryConnection {
    const { timer, random, entries, connections } = this.opts;
    const entry = names[random.below(names.length)]!;
    const connection = EntryConnection.to(timer, entry, entries.get(entry)!);
    connections.add(connection);
    return connection;
  }
}
