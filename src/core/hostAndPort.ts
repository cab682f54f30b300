/** Where to connect or listen for a URL, as Node's functions take it. */
export default function hostAndPort({ hostname, port }: URL, defaultPort: number) {
  return { host: hostname.replace(/^\[|\]$/g, ''), port: Number(port || defaultPort) };
}
