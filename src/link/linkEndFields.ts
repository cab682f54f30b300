import type Link from './Link';

/** For the line of a link that has ended: how long it lasted, how long nothing had arrived (ms), and why it broke off. */
export default function linkEndFields(link: Link, openedAt: number, now: number) {
  return {
    lastedMs: Math.round(now - openedAt),
    silentMs: Math.round(now - link.lastReceivedAt),
    reason: link.failure ?? 'in good order',
  };
}
