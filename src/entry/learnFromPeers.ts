import Backoff from '../core/Backoff';
import type LearnOptions from './LearnOptions';

/**
 * Asks other entries for the view and the configuration until both are known.
 * An entry that starts while the store is down can serve callers by this: it
 * forwards to the members until it becomes one itself.
 */
export default async function learnFromPeers(
  options: LearnOptions,
  signal: AbortSignal,
): Promise<void> {
  const { timer, random, addresses } = options;
  const backoff = Backoff.of(FIRST_ASK_MS, LAST_ASK_MS, random);
  await timer.sleep(backoff.next(), signal);
  while (!signal.aborted && knowsTooLittle(options)) {
    for (const address of addresses) {
      if (knowsTooLittle(options)) await ask(address, options);
    }
    await timer.sleep(backoff.next(), signal);
  }
}

async function ask(address: string, options: LearnOptions): Promise<void> {
  const { timer, network, hello, views, configurations } = options;
  const dialled = await network.dial(address, hello());
  if (dialled.isErr()) return;
  const link = dialled.value;
  const limit = timer.after(PATIENCE_MS, () => link.close());
  for await (const message of link.messages()) {
    if (message.case === 'view') views.adopt(message.value);
    if (message.case === 'configuration') configurations.adopt(message.value);
    if (!knowsTooLittle(options)) break;
  }
  limit.cancel();
  link.close();
}

function knowsTooLittle({ views, configurations }: LearnOptions): boolean {
  return views.number === 0n || configurations.number === 0n;
}

/** The store gets this long to answer before others are asked. */
const FIRST_ASK_MS = 1000;
const LAST_ASK_MS = 10_000;

/** Time for one entry to tell what it knows. */
const PATIENCE_MS = 1000;
