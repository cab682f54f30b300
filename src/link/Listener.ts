/** An open listening address. */
export default interface Listener {
  /** The bound address, "ip:port"; for port 0, with the port that the system assigned. */
  readonly address: string;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}
