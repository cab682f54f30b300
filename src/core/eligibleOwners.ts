interface Members {
  readonly members: readonly { readonly incarnation: string; readonly leaving: boolean }[];
}

/** Incarnations of the members of a view that may own new jobs: all but those that are leaving. */
export default function eligibleOwners({ members }: Members): string[] {
  return members.filter(({ leaving }) => !leaving).map(({ incarnation }) => incarnation);
}
