/** Describes in words why listening on an address failed, given the error from Node. */
export default function describeListenError(error: Error): string {
  const code = (error as NodeJS.ErrnoException).code ?? '';
  return problems[code] ?? error.message;
}

const problems: Readonly<Record<string, string>> = {
  EADDRINUSE: 'the port is taken by another process',
  EADDRNOTAVAIL: 'this machine does not have the address',
  EACCES: 'not permitted',
};
