/** The addresses that an entry listens on, "ip:port". */
export default interface EntryAddresses {
  readonly callers: string;
  readonly peers: string;
}
