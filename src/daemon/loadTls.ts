import type { ConsolaInstance } from 'consola';
import { ok, type Result } from 'neverthrow';
import type TimerService from '../core/TimerService';
import TlsCredentials from '../link/TlsCredentials';
import type TlsFiles from '../link/TlsFiles';

/**
 * Loads the certificates that the settings name, if any, and reloads them when their files change. The
 * error is the reason why they can't be used.
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
      if (problem === undefined) log.info('new certificates loaded');
      else log.warn(`cannot load the new certificates, keeping the previous ones: ${problem}`);
    });
    return credentials;
  });
}
