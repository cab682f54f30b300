/** What the entries know of one job. */
export default interface JobReport {
  readonly service: string;
  readonly id: string;
  /** Instance of the entry that owns the job in the view asked; empty when there is none. */
  readonly owner: string;
  /** The entries that have a record of it. */
  readonly holders: readonly {
    readonly entry: string;
    readonly outcome: string;
    readonly reason: string;
    readonly size: number;
    readonly finished: number;
    /** Where each task was started last, and how it ended. */
    readonly tasks: readonly {
      readonly index: number;
      readonly sidecar: string;
      readonly status: string;
    }[];
  }[];
  /** The services in force, for finding a mistyped one. */
  readonly services: readonly string[];
  /** Members of the view that did not answer: they may have a record too. */
  readonly silent: readonly string[];
}
