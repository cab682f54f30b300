import type Link from './Link';

/** Log fields of an ended link: how long it was open, how long nothing had arrived (both in ms), and why it broke. */
export default function linkEndFields(link: Link, openedAt: number, now: number) {
  return {
    lastedMs: Math.round(now - openedAt),
    silentMs: Math.round(now - link.lastReceivedAt),
    reason: link.failure ?? 'in good order',
  };
}
