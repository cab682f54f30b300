interface Members {
  readonly members: readonly { readonly incarnation: string }[];
}

/** Whether the entry incarnation belongs to the view. */
export default function isMember({ members }: Members, incarnation: string): boolean {
  return members.some((member) => member.incarnation === incarnation);
}
