import DEFAULT_PORT from '../core/DEFAULT_PORT';

/**
 * The address at which other machines reach a listener: one that listens on
 * all addresses of its machine takes the host of the address given instead.
 * Empty when there is none to take.
 */
export default function reachableAddress(listening: string, advertised?: string): string {
  const { hostname, port } = new URL(`http://${listening}`);
  if (!ALL_ADDRESSES.includes(hostname)) return listening;
  if (advertised === undefined) return '';
  return `${new URL(`http://${advertised}`).hostname}:${port || DEFAULT_PORT}`;
}

const ALL_ADDRESSES = ['0.0.0.0', '[::]'];
