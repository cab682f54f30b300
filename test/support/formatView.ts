import type { View } from '../../src/gen/magnoliakeel/v1/peer_pb';

/** Formats a view in one line: its number, members and previous views. */
export default function formatView(view: View | undefined): string {
  if (!view) return 'none';
  const { number, members, past } = view;
  const names = members.map(({ incarnation }) => incarnation).sort();
  const earlier = past.map((old) => `${old.number}: ${old.incarnations.join(' ')}`);
  return `${number}: ${names.join(' ')} (${earlier.join(', ')})`;
}
