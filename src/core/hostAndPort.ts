/** Host and port of a URL, in the form that Node's connect and listen functions accept. */
export default function hostAndPort({ hostname, port }: URL, defaultPort: number) {
  return { host: hostname.replace(/^\[|\]$/g, ''), port: Number(port || defaultPort) };
}
