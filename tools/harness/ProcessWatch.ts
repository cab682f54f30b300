/** Callbacks on the output and exit of the processes that a program started. */
export default interface ProcessWatch {
  /** Called with each line that a process prints. */
  readonly printed?: (name: string, line: string) => void;
  /** Called when a process has ended, by itself or by a signal. */
  readonly exited?: (name: string, code: number | null, signal: NodeJS.Signals | null) => void;
}
