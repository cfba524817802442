"""The documents in force as far as limits go: who owns which part of a customer's limit."""

from pollenroad.limits.limit_shares import ShareOwners, choose_owners, owner_candidates
from pollenroad.models import CustomerLimit, Document, ServiceDocument, WorkspaceDocument


class LimitDocuments:
    """Workspaces and services in force, and the possible owners of each workspace's limits."""

    def __init__(self):
        self._workspace_by_name: dict[str, WorkspaceDocument] = {}
        self._service_by_key: dict[str, ServiceDocument] = {}
        self._candidates_by_workspace: dict[str, dict[str, str]] = {}

    def configure(self, document: Document) -> WorkspaceDocument | None:
        """Take a newer document.

        Returns:
            The workspace whose limits it may concern, or None if that is not known yet.
        """
        match document:
            case WorkspaceDocument():
                self._workspace_by_name[document.workspace] = document
            case ServiceDocument():
                self._service_by_key[document.key] = document
        workspace = self._workspace_by_name.get(document.workspace)
        if workspace is not None:
            candidates = owner_candidates(workspace, self._service_by_key.values())
            self._candidates_by_workspace[workspace.workspace] = candidates
        return workspace

    def workspace(self, name: str) -> WorkspaceDocument | None:
        """Return a workspace in force, if there is one."""
        return self._workspace_by_name.get(name)

    def owners(self, workspace: str, limit: CustomerLimit) -> tuple[ShareOwners, ...]:
        """Return the owners of each share of a customer's limit in a workspace in force."""
        return choose_owners(workspace, limit, self._candidates_by_workspace[workspace])
