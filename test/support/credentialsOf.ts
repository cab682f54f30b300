import path from 'node:path';
import TlsCredentials from '../../src/link/TlsCredentials';
import valueOf from './valueOf';

const FIXTURES = path.join(import.meta.dirname, '../fixtures/tls');

/** The credentials of a process whose certificate has the name. */
export default async function credentialsOf(
  name: string,
  folder = FIXTURES,
): Promise<TlsCredentials> {
  const file = (base: string) => path.join(folder, base);
  const files = { cert: file(`${name}.pem`), key: file(`${name}.key`), ca: file('ca.pem') };
  return valueOf(await TlsCredentials.load(files));
}
