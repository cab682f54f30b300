import type { ConsolaInstance } from 'consola';
import { ok, type Result } from 'neverthrow';
import type TimerService from '../core/TimerService';
import TlsCredentials from '../link/TlsCredentials';
import type TlsFiles from '../link/TlsFiles';

/**
 * Reads the certificates that the settings name, if any, and keeps following them. The error says
 * why they can't be used.
 */
export default async function loadTls(
  files: TlsFiles | undefined,
  timer: TimerService,
  log: Pick<ConsolaInstance, 'info' | 'warn'>,
): Promise<Result<TlsCredentials | undefined, string>> {
  if (!files) return ok(undefined);
  const loaded = await TlsCredentials.load(files);
  return loaded.map((credentials) => {
    credentials.watch(timer, (problem) => {
      if (problem === undefined) log.info('new certificates are in use');
      else log.warn(`the certificates on file can't be used, the last ones stay: ${problem}`);
    });
    return credentials;
  });
}
