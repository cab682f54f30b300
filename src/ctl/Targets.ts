/** Where a command finds the system. */
export default interface Targets {
  /** Address of the platform's key-value service, "ip:port". */
  readonly store?: string;
  /** Operators' addresses of entries, "ip:port"; the first that answers is used. */
  readonly entries: readonly string[];
}
