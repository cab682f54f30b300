/** Addresses at which a command reaches the system. */
export default interface Targets {
  /** Address of the platform's key-value service, "ip:port". */
  readonly store?: string;
  /** Operators' addresses of entries, "ip:port"; tried in order until one answers. */
  readonly entries: readonly string[];
}
