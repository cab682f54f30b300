import type Link from './Link';

/** For the line of a link that has ended: how long it lasted and how long nothing had arrived, ms. */
export default function linkAges(link: Link, openedAt: number, now: number) {
  return {
    lastedMs: Math.round(now - openedAt),
    silentMs: Math.round(now - link.lastReceivedAt),
  };
}
