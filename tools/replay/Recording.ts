/** A queue in a recording: its settings, and what answers to its requests are worth. */
interface RecordedQueue {
  readonly name: string;
  readonly priority: number;
  readonly maxAttempts: number;
  readonly stretch: number;
  readonly targetLatencyMs: number;
  /** Worth of an answer within the latency target, for a batch of mean work. */
  readonly worth: number;
  /** Worth of an answer after the target, but within three times the target. */
  readonly lateWorth: number;
  /** Mean work of a batch, thousandths of a core times ms. */
  readonly meanWork: number;
  /** Size of the spec sent to backend servers with each task, bytes. */
  readonly specBytes?: number;
}

/** A period during which a backend server is faulty. */
interface RecordedTrouble {
  readonly backend: number;
  readonly fromMs: number;
  readonly untilMs: number;
  /**
   * Tasks that start in the period take `times` as long (`slow`), end only after it (`hang`) or fail (`fail`); `crash`: the
   * process is down.
   */
  readonly how: 'slow' | 'hang' | 'fail' | 'crash';
  readonly times: number;
}

/** The processor share of an entry, and the processor time that its work costs. */
interface RecordedProcessor {
  /** Share of a core that the entry has. */
  readonly share: number;
  /** Total processor time of a caller's request, from arrival to answer, ms. */
  readonly requestMs: number;
  /** Processor time of one message to or from a sidecar, ms. */
  readonly messageMs: number;
}

/** A backend server. */
interface RecordedBackend {
  readonly zone: number;
  readonly cpuMilli: number;
  /** Duration ratio: a task takes this many times its recorded time; 1 by default. */
  readonly speed?: number;
}

/** One batch as it arrived, with the duration of each task on a healthy backend server. */
interface RecordedBatch {
  readonly atMs: number;
  /** The entry that its caller is connected to. */
  readonly entry: number;
  readonly queue: number;
  readonly cpuMilli: number;
  readonly estimateMs: number;
  readonly tasksMs: readonly number[];
}

/** A recorded load, and the deployment that has to serve it. */
export default interface Recording {
  /** Origin of the recording. */
  readonly source: string;
  readonly entries: number;
  readonly zones: number;
  /** One-way latency between availability zones, ms. */
  readonly zoneMs: number;
  /** The processor of each entry; if absent, an entry's work takes no time. */
  readonly processor?: RecordedProcessor;
  readonly backends: readonly RecordedBackend[];
  /** Bandwidth of an entry's machine in each direction, bytes per ms; unlimited if absent. */
  readonly linkBytesPerMs?: number;
  /** Periods during which an entry is down: its open requests and those that arrive meanwhile are lost. */
  readonly absences?: readonly {
    readonly entry: number;
    readonly fromMs: number;
    readonly untilMs: number;
  }[];
  readonly queues: readonly RecordedQueue[];
  readonly troubles: readonly RecordedTrouble[];
  /** Indexes of batches whose first task crashes its backend server, which restarts after `downMs`. */
  readonly crashing?: { readonly batches: readonly number[]; readonly downMs: number };
  /** Tasks, by batch and index, that take `times` as long on any backend server; latency targets ignore this. */
  readonly tail?: {
    readonly tasks: readonly (readonly [number, number])[];
    readonly times: number;
  };
  readonly batches: readonly RecordedBatch[];
}
