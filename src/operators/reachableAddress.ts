import DEFAULT_PORT from '../core/DEFAULT_PORT';

/**
 * The address at which other machines reach a listener. For a listener on all
 * addresses of its machine it has the host of the advertised address, and is
 * empty when none is advertised.
 */
export default function reachableAddress(listening: string, advertised?: string): string {
  const { hostname, port } = new URL(`http://${listening}`);
  if (!ALL_ADDRESSES.includes(hostname)) return listening;
  if (advertised === undefined) return '';
  return `${new URL(`http://${advertised}`).hostname}:${port || DEFAULT_PORT}`;
}

const ALL_ADDRESSES = ['0.0.0.0', '[::]'];
